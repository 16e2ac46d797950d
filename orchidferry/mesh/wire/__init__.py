"""The messages between the mesh's processes, their encoding and their framing."""
