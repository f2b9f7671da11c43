"""The router on real sockets, around the decision core. Its parts follow the stages of an operation."""
