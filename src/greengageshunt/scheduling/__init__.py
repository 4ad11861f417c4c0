"""Queue policies for the slots of a target."""
