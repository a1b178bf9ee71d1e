"""Decides which client account a request belongs to.

The caller's credentials arrive as one item for each credential that the request
states: its key, or None if it is not a valid key. How a request states them is
known to the protocol adapter only.
"""

from collections.abc import Sequence
from typing import Final

from wigeonspool.model import fleet
from wigeonspool.model import outcomes

# Accounts that are counted one by one. Their names come from configurations,
# each of which may have other ones, and a name once counted stays.
MAX_COUNTED_ACCOUNTS: Final = 200
# Name under which all further accounts are counted. Names of accounts have no
# spaces.
OTHER_ACCOUNTS: Final = "other accounts"

# Key of one credential, or None if the credential is not a valid key.
Credential = bytes | None


class AccountCounter:
    """Counts the requests of accounts by outcome.

    Attributes:
        counts: Number of requests by the name of their account and outcome.
    """

    def __init__(self) -> None:
        """Creates a counter without requests."""
        self.counts: dict[tuple[str, str], int] = {}
        self._names: set[str] = set()

    def count(self, account: fleet.ClientAccount | None, outcome: str) -> None:
        """Counts a request; one without an account is not counted."""
        if account is None:
            return
        name = account.name
        if name not in self._names:
            if len(self._names) < MAX_COUNTED_ACCOUNTS:
                self._names.add(name)
            else:
                name = OTHER_ACCOUNTS
        key = (name, outcome)
        self.counts[key] = self.counts.get(key, 0) + 1


def identify_account(
    configuration: fleet.Configuration,
    rule: fleet.Rule,
    credentials: Sequence[Credential],
) -> fleet.ClientAccount | outcomes.Reason | None:
    """Returns the account of a request, or why the request is refused.

    The result is None if no accounts are configured. It is also None if the
    rule is public and the request states no key of an account: whatever else
    it states is ignored.

    Args:
        configuration: Active configuration.
        rule: Rule that the request matched.
        credentials: Credentials of the request.
    """
    if not configuration.accounts:
        return None
    key = find_key(credentials)
    if isinstance(key, outcomes.Reason):
        return None if rule.public else key
    account = configuration.find_account(key)
    if account is None and not rule.public:
        return outcomes.Reason.CREDENTIALS_UNKNOWN
    return account


def find_key(credentials: Sequence[Credential]) -> bytes | outcomes.Reason:
    """Returns the only key of a request, or why there is none.

    Several credentials are malformed even if they are equal: other programs
    may use the first or the last one.
    """
    if not credentials:
        return outcomes.Reason.CREDENTIALS_MISSING
    key = credentials[0]
    if len(credentials) > 1 or key is None:
        return outcomes.Reason.CREDENTIALS_MALFORMED
    return key
