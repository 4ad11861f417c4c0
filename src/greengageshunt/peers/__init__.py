"""Links between the proxies of the entry VMs."""
