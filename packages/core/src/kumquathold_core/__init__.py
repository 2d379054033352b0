"""Wire messages and decision logic of kumquathold, free of I/O and clocks."""
