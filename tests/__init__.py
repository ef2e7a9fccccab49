"""The tests of papayacourse: behave features with real processes."""
