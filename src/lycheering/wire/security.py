"""Authentication and encryption of connections with CURVE keys."""

from __future__ import annotations

import dataclasses
import os
import pathlib
from typing import TYPE_CHECKING

import zmq
import zmq.auth.asyncio
import zmq.utils.z85

from lycheering.settings import findings
from lycheering.settings import ini
from lycheering.telemetry import logs
from lycheering.telemetry import rate_limited_warning
from lycheering.wire import api
from lycheering.wire import errors

if TYPE_CHECKING:
    from lycheering.settings import model
    from lycheering.telemetry import counters

KEY_LENGTH = 40
ANY_PEER = "*"
KEY_SECTION = "key"
PEERS_SECTION = "peers"
SECRET_FILE_MODE = 0o600
PEERS_FILE = "peers.ini"
KEY_FILE_SUFFIX = ".key.ini"
SHARED_KEY_NAME = "fleet"
ZAP_DOMAIN = "lycheering"

_LOG = logs.get("wire")


@dataclasses.dataclass(frozen=True)
class KeyPair:
    """A process's own key pair, as Z85 text.

    Attributes:
        public: The public key.
        secret: The secret key.
    """

    public: str
    secret: str = dataclasses.field(repr=False)

    @classmethod
    def generate(cls) -> KeyPair:
        """Generates and returns a new pair."""
        public, secret = zmq.curve_keypair()
        return cls(public.decode(), secret.decode())


def _get_key(document: ini.Document, section: str, option: str) -> str:
    options = document.text_by_option_by_section.get(section, {})
    text = options.get(option)
    if text is None:
        document.add(section, option, "missing")
        return ""
    try:
        is_valid = len(text) == KEY_LENGTH and zmq.utils.z85.decode(text)
    except (KeyError, ValueError):
        is_valid = False
    if not is_valid:
        problem = f"not a key of {KEY_LENGTH} Z85 characters"
        document.add(section, option, problem)
    return text


def _raise_findings(document: ini.Document) -> None:
    if document.findings:
        raise findings.SettingsError(document.findings)


def read_key_pair(path: str) -> KeyPair:
    """Reads a process's own key pair from a file.

    Raises:
        SettingsError: If a key is missing or malformed.
    """
    document = ini.read(path)
    public = _get_key(document, KEY_SECTION, "public")
    secret = _get_key(document, KEY_SECTION, "secret")
    _raise_findings(document)
    return KeyPair(public, secret)


def read_peers(path: str) -> dict[str, str]:
    """Reads the accepted public keys, by the peer's name.

    The key under the name `*` is used for all peers that have no entry.

    Raises:
        SettingsError: If the file has no keys or one is malformed.
    """
    document = ini.read(path)
    names = document.text_by_option_by_section.get(PEERS_SECTION, {})
    if not names:
        document.add(PEERS_SECTION, "", "no public keys")
    key_by_peer = {
        name: _get_key(document, PEERS_SECTION, name) for name in names
    }
    _raise_findings(document)
    return key_by_peer


class CurveSecurity(api.Security):
    """Encrypts connections and refuses peers with unknown keys.

    A process has only one instance, as a ZeroMQ context can have only one
    authenticator.
    """

    def __init__(
        self,
        own_keys: KeyPair,
        key_by_peer: dict[str, str],
        process_counters: counters.Counters | None = None,
    ) -> None:
        self._own_keys = own_keys
        self._key_by_peer = key_by_peer
        self._accepted_keys = frozenset(key_by_peer.values())
        self._counters = process_counters
        self._refused_warning = rate_limited_warning.RateLimitedWarning(
            _LOG, "refused_key"
        )
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None

    def secure_client(self, socket: zmq.Socket[bytes], peer: str) -> None:
        """Configures a socket that connects to a peer.

        Raises:
            PeerUnreachableError: If there is no public key for the peer.
        """
        key = self._key_by_peer.get(peer.lower())
        key = key or self._key_by_peer.get(ANY_PEER)
        if key is None:
            raise errors.PeerUnreachableError(f"{peer}: no public key")
        socket.curve_publickey = self._own_keys.public.encode()
        socket.curve_secretkey = self._own_keys.secret.encode()
        socket.curve_serverkey = key.encode()

    def secure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Configures a socket that listens; starts the authenticator."""
        if self._authenticator is None:
            authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
                socket.context
            )
            authenticator.start()
            authenticator.configure_curve_callback(ZAP_DOMAIN, self)
            self._authenticator = authenticator
        socket.curve_publickey = self._own_keys.public.encode()
        socket.curve_secretkey = self._own_keys.secret.encode()
        socket.curve_server = True
        socket.zap_domain = ZAP_DOMAIN.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a peer with this public key may connect.

        The authenticator calls it for each connection.
        """
        text = key.decode("ascii", errors="replace")
        if text in self._accepted_keys:
            return True
        if self._counters is not None:
            self._counters.increment("wire.refused_key")
        self._refused_warning.warn(public_key=text)
        return False

    def close(self) -> None:
        """Stops the authenticator."""
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None


def make_security(
    settings: model.WireSettings,
    process_counters: counters.Counters | None = None,
) -> api.Security:
    """Returns the security that is set up in the settings.

    Args:
        settings: The settings of the inner protocol.
        process_counters: Counts refused peers.

    Returns:
        CURVE with the configured keys, or no security without key files.

    Raises:
        SettingsError: If the key files can't be used.
    """
    if not settings.curve_secret_key_file:
        return api.NoSecurity()
    own_keys = read_key_pair(settings.curve_secret_key_file)
    key_by_peer = read_peers(settings.curve_peers_file)
    return CurveSecurity(own_keys, key_by_peer, process_counters)


def make_keys(folder: pathlib.Path, names: list[str]) -> list[pathlib.Path]:
    """Generates key files and adds their public keys to the peers file.

    Args:
        folder: Folder for the files; created if it is missing.
        names: The names of the peers; if empty, one pair is generated for
            all peers.

    Returns:
        The written files.

    Raises:
        OSError: If a key file exists already or can't be written.
        SettingsError: If the peers file in the folder is invalid.
    """
    folder.mkdir(parents=True, exist_ok=True)
    peers_path = folder / PEERS_FILE
    key_by_peer = {}
    if peers_path.exists():
        key_by_peer = read_peers(str(peers_path))
    paths = []
    for name in names or [SHARED_KEY_NAME]:
        pair = KeyPair.generate()
        path = folder / f"{name}{KEY_FILE_SUFFIX}"
        _write_key_file(path, pair)
        paths.append(path)
        key_by_peer[name.lower() if names else ANY_PEER] = pair.public
    lines = [f"[{PEERS_SECTION}]"]
    lines += [f"{name} = {key}" for name, key in key_by_peer.items()]
    temporary_path = peers_path.with_suffix(".new")
    temporary_path.write_text("\n".join([*lines, ""]), encoding="utf-8")
    temporary_path.replace(peers_path)
    return [*paths, peers_path]


def _write_key_file(path: pathlib.Path, pair: KeyPair) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    lines = [f"[{KEY_SECTION}]", f"public = {pair.public}"]
    lines += [f"secret = {pair.secret}", ""]
    with os.fdopen(os.open(path, flags, SECRET_FILE_MODE), "w") as file:
        file.write("\n".join(lines))


__all__ = [
    "ANY_PEER",
    "KEY_FILE_SUFFIX",
    "PEERS_FILE",
    "SHARED_KEY_NAME",
    "CurveSecurity",
    "KeyPair",
    "make_keys",
    "read_key_pair",
    "read_peers",
    "make_security",
]
