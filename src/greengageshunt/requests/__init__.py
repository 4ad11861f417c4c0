"""Request ids, outcomes and retries."""
