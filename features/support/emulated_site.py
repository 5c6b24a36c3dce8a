"""A small emulated site, as the text of an experiment."""

__all__ = ["SITE"]

SITE = """
[site]
domains = { a = "x", b = "x", c = "y", d = "y" }
engines_a_domain = 8
daemons = 3
lead_s = 6

[[site.models]]
name = "large"
size = 4
share = 0.5
load_s = 16
warm_s = 1.6

[[site.models]]
name = "small"
size = 2
share = 0.5
pace = 0.6
load_s = 12
warm_s = 1.1

[[site.kinds]]
name = "draft"
model = "large"
per_s = 10
prompt_tokens = 900
events = 15
aim_s = 0.5
pause_s = 0.3
deadline_s = 6

[[site.kinds]]
name = "query"
model = "small"
per_s = 20
prompt_tokens = 500
events = 10
aim_s = 0.4
pause_s = 0.3
deadline_s = 5
"""
