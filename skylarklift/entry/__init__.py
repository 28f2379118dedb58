"""The entry router on a shared platform; each decides alone on what it and its peers see."""
