"""The real router: sockets round the decision module. Its parts follow the stages of an operation."""
