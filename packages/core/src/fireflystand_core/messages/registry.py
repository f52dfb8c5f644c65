"""Keep the registry of peer messages and their codec."""

from collections.abc import Callable, Collection, Iterator
from typing import TypeVar

import msgpack
from cattrs.errors import BaseValidationError
from cattrs.gen import make_dict_unstructure_fn, override
from cattrs.preconf.msgpack import make_converter

from fireflystand_core.exceptions import ProtocolError

__all__ = ["Decoder", "Envelope", "encode", "message", "message_classes_by_name"]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024

T = TypeVar("T", bound=type)

message_classes_by_name: dict[str, type] = {}
_names_by_class: dict[type, str] = {}
_converter = make_converter(detailed_validation=False)
# A bare list holds only values that msgpack packs unchanged. Unstructuring each item
# took a tenth of the processor time of an idle instance.
_converter.register_unstructure_hook_func(
    lambda kind: kind is list, lambda value: value
)


def message(name: str, *, optional: Collection[str] = ()) -> Callable[[T], T]:
    """Register an attrs class as the peer message called ``name``.

    Its ``optional`` fields are not sent while they have their defaults.
    """

    def register(cls: T) -> T:
        if name in message_classes_by_name:
            raise ValueError(f"peer message {name!r} is registered twice")
        message_classes_by_name[name] = cls
        _names_by_class[cls] = name
        if optional:
            omitted = {field: override(omit_if_default=True) for field in optional}
            hook = make_dict_unstructure_fn(cls, _converter, **omitted)
            _converter.register_unstructure_hook(cls, hook)
        return cls

    return register


class Envelope:
    """Pair a message with its correlation number; 0 means no reply is expected."""

    __slots__ = ("correlation", "message")

    def __init__(self, correlation: int, message: object) -> None:
        self.correlation = correlation
        self.message = message


def encode(correlation: int, message: object) -> bytes:
    """Return the msgpack form of a message."""
    name = _names_by_class[type(message)]
    fields = _converter.unstructure(message)
    return msgpack.packb([name, correlation, fields], use_bin_type=True)


class Decoder:
    """Split a byte stream into envelopes."""

    def __init__(self, peer: str = "") -> None:
        self._peer = peer
        self._unpacker = msgpack.Unpacker(
            raw=False,
            max_buffer_size=MAX_MESSAGE_BYTES,
        )

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Yield the envelopes that ``data`` completes."""
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                yield self._structure(item)
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            raise ProtocolError(
                f"peer sent an unreadable message: {error!r}",
                step="decode",
                peer=self._peer,
            ) from error

    def _structure(self, item: object) -> Envelope:
        name, correlation, fields = item
        cls = message_classes_by_name.get(name)
        if cls is None:
            raise ValueError(f"unknown message {name!r}")
        try:
            return Envelope(correlation, _converter.structure(fields, cls))
        except BaseValidationError as error:
            raise ValueError(f"bad fields of {name!r}") from error
