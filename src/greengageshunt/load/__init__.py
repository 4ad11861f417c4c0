"""Load tool: arrivals, faults, traces, audits, measures and reports."""
