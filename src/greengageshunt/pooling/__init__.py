"""Client sessions over shared target connections."""
