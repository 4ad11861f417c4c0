"""The data path of an entry VM."""
