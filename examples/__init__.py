"""Settings, prompts and a demonstration."""
