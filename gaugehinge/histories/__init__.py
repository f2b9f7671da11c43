"""What the parties of a play did and saw, one line an event, and the checks that read it all afterwards."""
