"""What the mesh's processes say to each other, and how it is framed."""
