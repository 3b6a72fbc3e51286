"""Tasks of the planner, the entries' request handler and the agents."""
