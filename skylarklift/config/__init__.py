"""The versioned routing configuration: its schema, patches, and the version in force."""
