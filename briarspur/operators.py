"""Who may change the policy through the console: operators' tokens and protection of forms."""

import hashlib
import hmac
import secrets

from briarspur.errors import Fault, SettingsError

__all__ = ["FormGuard", "OperatorTokens"]

MIN_TOKEN = 16


class OperatorTokens:
    """The tokens in a file: one ``name token`` a line, or one token alone.

    The file is read at each check, so that a token that was taken out counts no more at once.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self.read()

    def read(self) -> dict[str, str]:
        """Return the tokens by operator's name.

        Raises
        ------
        SettingsError
            The file cannot be read, or a token in it is short.
        """
        try:
            with open(self._path, encoding="utf-8") as file:
                lines = [line.split() for line in file if line.strip()]
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(self._path, [Fault("(file)", str(error))]) from None
        tokens = {parts[0] if len(parts) > 1 else "operator": parts[-1] for parts in lines}
        if not tokens or any(len(token) < MIN_TOKEN for token in tokens.values()):
            fault = Fault("(file)", f"each line needs a token of {MIN_TOKEN} or more characters")
            raise SettingsError(self._path, [fault])
        return tokens

    def name_of(self, given: str) -> str | None:
        """Return whose token ``given`` is; None if nobody's.

        Guards against guessing a token by the time its refusal takes: digests are compared, in
        constant time, with every token, whichever of them fits.
        """
        wanted = hashlib.sha256(given.encode()).digest()
        found = None
        for name, token in self.read().items():
            if hmac.compare_digest(hashlib.sha256(token.encode()).digest(), wanted):
                found = name
        return found


class FormGuard:
    """Ties each form to the browser it was shown in.

    Guards against a foreign page that makes an operator's browser send a form here: it can send
    the cookie, but it can neither read it nor make the form's field, which is a keyed digest of it.
    """

    def __init__(self) -> None:
        self._key = secrets.token_bytes(32)

    def new_session(self) -> str:
        """Return the value of a new cookie."""
        return secrets.token_urlsafe(24)

    def field_for(self, session: str) -> str:
        """Return the hidden field that belongs to a cookie."""
        return hmac.new(self._key, session.encode(), hashlib.sha256).hexdigest()

    def accepts(self, session: str, field: str) -> bool:
        """Return whether the field belongs to the cookie."""
        expected = self.field_for(session).encode()
        return bool(session) and hmac.compare_digest(expected, field.encode())
