"""The bench adapter: one decision instance for each router, spoken to over the bench wire."""
