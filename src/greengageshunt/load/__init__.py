"""Load tool, traces and reports."""
