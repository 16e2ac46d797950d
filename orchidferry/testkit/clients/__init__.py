"""Open-loop load: who asks what when, and what came back."""
