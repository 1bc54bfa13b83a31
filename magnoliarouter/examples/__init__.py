"""Small programs that use individual parts of the library without running daemons."""
