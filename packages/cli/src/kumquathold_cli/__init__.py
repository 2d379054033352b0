"""Command line for operators of a kumquathold fleet."""
