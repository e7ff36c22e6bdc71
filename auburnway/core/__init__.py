"""Plain immutable records and pure functions over them."""
