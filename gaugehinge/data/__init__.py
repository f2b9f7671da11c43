"""Files that come with the package: the script of `gaugehinge demo`."""
