"""Runs one Dispatcher for each instance of a simulation; they share no state."""

from heronwinch.benchlink import codec
from heronwinch.policy import Dispatcher
from heronwinch.terms import parse_settings_lines, read_terms


class DispatcherHost:
    """The dispatchers of one simulation, by their instance numbers."""

    def __init__(self):
        self.decoder = codec.FrameDecoder()
        self.dispatchers = {}

    def answer(self, frame):
        """Returns the reply to the batch of events in one frame. Raises FrameError and SettingsError."""
        now, events = self.decoder.decode(frame)
        records = []
        inbox = {}  # instance -> its events in their order
        for instance, event in events:
            if type(event) is codec.InstanceSpawn:
                inbox.pop(instance, None)
                self.dispatchers[instance] = Dispatcher(
                    read_terms(parse_settings_lines(event.text)), event.seed
                )
            elif type(event) is codec.InstanceStop:
                # The instance's earlier events of this batch are dropped with it.
                inbox.pop(instance, None)
                self.dispatchers.pop(instance, None)
            elif instance not in self.dispatchers:
                raise codec.FrameError(f"event for instance {instance}, which is not running")
            elif instance in inbox:
                inbox[instance].append(event)
            else:
                inbox[instance] = [event]
        for instance, instance_events in inbox.items():
            try:
                actions = self.dispatchers[instance].handle(now, instance_events)
                records.extend([codec.encode_action(instance, action) for action in actions])
            except Exception as error:  # the protocol reports a crash as an action; the process goes on
                records.append(codec.encode_crash(instance, f"{type(error).__name__}: {error}"))
        return codec.encode_reply(records)
