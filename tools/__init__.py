"""Developer tools: schema and code generation, model checking, random runs, demo, tests."""
