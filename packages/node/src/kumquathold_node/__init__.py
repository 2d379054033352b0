"""The process that stands beside the upstreams of one VM."""
