"""The command `gaugehinge`. One file a command; what a command is about is imported when it runs."""
