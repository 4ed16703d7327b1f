"""The instances of a soak, each with an entry: process, listeners and settings."""

import asyncio
import subprocess
from collections import abc

from soak import conditions
from standins import faultproxy, ports


class Entry:
    """One entry and its process."""

    def __init__(self, name: str, data_centre: str, source_address: str):
        self.name = name
        # Its connections to servers come from this address.
        self.source_address = source_address
        self.data_centre = data_centre
        self.ports = {
            listener: ports.find_free_port()
            for listener in ("Frontend", "Readiness", "Control", "Directory", "metrics")
        }
        self.start_count = 0
        self.is_expected_to_run = False
        self.process: subprocess.Popen | None = None
        self.store_proxy: faultproxy.FaultProxy | None = None
        self.caller_proxy: faultproxy.FaultProxy | None = None

    @property
    def address(self) -> str:
        """The address that the entry publishes for its callers."""
        return f"127.0.0.1:{self.ports['Frontend']}"

    @property
    def seed_address(self) -> str:
        """The address by which other entries join it."""
        return f"127.0.0.1:{self.ports['Control']}"

    def signal(self, signal_number: int) -> None:
        """Send the process a signal if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)


def settings_text(
    entry: Entry, seeds: abc.Iterable[str], bounds: conditions.Bounds
) -> str:
    """Return the settings of an entry as its file holds them."""
    metrics_port = entry.ports["metrics"]
    settings = {
        "NodeName": entry.name,
        "Zone": entry.data_centre,
        "Region": "region",
        "Ip": "127.0.0.1",
        "Seeds": ",".join(seeds),
        "InternalPortRange": f"{metrics_port - 1},{metrics_port}",
        "Platform.Address": f"127.0.0.1:{entry.store_proxy.port}",
        "Cloud.Address": f"127.0.0.1:{entry.store_proxy.port}",
        "Cloud.Duties": "usage_report,autoscale",
        "Bounds.ContactMs": bounds.contact_s * 1000,
        "Bounds.DrainMs": bounds.drain_s * 1000,
        "Bounds.GraceS": bounds.stop_limit_s,
        "Bounds.ConfigApplyMs": bounds.configuration_s * 1000,
        "Bounds.RetryBudgetRatio": bounds.repeat_ratio,
        "Bounds.BudgetWindowS": bounds.repeat_window_s,
        "Bounds.RetryBurst": bounds.repeat_burst,
        "Bounds.QuotaWindowS": bounds.quota_window_s,
        "Bounds.QuotaOvershoot": bounds.quota_overshoot,
        "Bounds.QuotaSlack": bounds.quota_slack,
        "Bounds.LeaseMs": bounds.lease_s * 1000,
        "Bounds.WindowS": bounds.usage_window_s,
        "Bounds.UsageLateS": bounds.usage_late_s,
    }
    for name in ("Frontend", "Readiness", "Control", "Directory"):
        settings[f"Listen.{name}"] = f"127.0.0.1:{entry.ports[name]}"
    return "".join(f"{name}={value}\n" for name, value in settings.items())


async def is_ready(port: int) -> bool:
    """Whether the readiness check at a port answers 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
