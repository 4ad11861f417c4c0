"""Queue policies and admission for the slots of a target."""
