"""Tools of the developers: schema, generator, model, demo and measures."""
