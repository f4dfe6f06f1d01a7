"""Development stand-ins: engine, service, platform, proxy."""
