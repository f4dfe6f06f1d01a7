"""The configuration in force at this daemon."""

from mimosamux_daemon.domain.configuration import Configuration


class ConfigurationInForce:
    """Holds the newest configuration; its version only goes up."""

    def __init__(self) -> None:
        self.current = Configuration()

    def take(self, configuration: Configuration) -> bool:
        """Put a newer version in force; an older one changes nothing."""
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        return True
