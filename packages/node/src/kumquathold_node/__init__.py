"""The node: the proxy process beside the upstreams of one VM."""
