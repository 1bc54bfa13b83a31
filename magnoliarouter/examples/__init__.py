"""Small programs that use single parts of the library without the daemons."""
