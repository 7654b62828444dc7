"""The filters that each request passes, in order; each has one job."""
