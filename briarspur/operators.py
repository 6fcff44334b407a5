"""Authorization of policy changes in the console: operator tokens and CSRF protection."""

import hashlib
import hmac
import secrets

from briarspur.errors import Fault, SettingsError

__all__ = ["CsrfGuard", "OperatorTokens"]

MIN_TOKEN_CHARS = 16


class OperatorTokens:
    """The tokens in a file with one ``name token`` per line, or with a single token.

    The file is read at each check, so that a token is revoked as soon as it is removed from it.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self.read()

    def read(self) -> dict[str, str]:
        """Return each operator's token by name.

        Raises
        ------
        SettingsError
            The file cannot be read, has no token, or has a token that is too short.
        """
        try:
            with open(self._path, encoding="utf-8") as file:
                lines = [line.split() for line in file if line.strip()]
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(self._path, [Fault("(file)", str(error))]) from None
        tokens = {parts[0] if len(parts) > 1 else "operator": parts[-1] for parts in lines}
        if not tokens or any(len(token) < MIN_TOKEN_CHARS for token in tokens.values()):
            fault = Fault(
                "(file)", f"each line needs a token of {MIN_TOKEN_CHARS} or more characters"
            )
            raise SettingsError(self._path, [fault])
        return tokens

    def find_operator(self, token: str) -> str | None:
        """Return the name of the operator who has this token, or None.

        Guards against timing attacks: the token's digest is compared in constant time with the
        digest of every token in the file, even after one has matched.
        """
        wanted = hashlib.sha256(token.encode()).digest()
        found = None
        for name, known in self.read().items():
            if hmac.compare_digest(hashlib.sha256(known.encode()).digest(), wanted):
                found = name
        return found


class CsrfGuard:
    """Ties each form to the session of the browser that it was rendered for.

    Protects against cross-site request forgery: a foreign page can make an operator's browser send
    the session cookie, but can neither read the cookie nor compute the form's hidden field, which
    is a keyed digest of it.
    """

    def __init__(self) -> None:
        self._key = secrets.token_bytes(32)

    def new_session(self) -> str:
        """Return a new value for the session cookie."""
        return secrets.token_urlsafe(24)

    def field_for(self, session: str) -> str:
        """Return the value of the hidden field for a session cookie."""
        return hmac.new(self._key, session.encode(), hashlib.sha256).hexdigest()

    def accepts(self, session: str, field: str) -> bool:
        """Return whether the hidden field belongs to the session cookie."""
        expected = self.field_for(session).encode()
        return bool(session) and hmac.compare_digest(expected, field.encode())
