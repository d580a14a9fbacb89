"""Example settings file of the users' platform."""

BOOT_TOML = """
nodeName = "front-a-1"
ip = "10.1.0.38"
zone = "a"
portRange = [7380, 7395]
unknown = { later = true }
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
[limits]
memoryMb = 170
cpuShare = 0.7
[bounds]
graceS = 8
[platform]
address = "10.200.1.7:8142"
"""
