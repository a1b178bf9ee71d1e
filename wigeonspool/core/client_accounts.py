"""Decides which client account a request belongs to.

The caller's credentials arrive as one item for each credential that the request
states: its key, or None if it is not a valid key. How a request states them is
known to the protocol adapter only.
"""

from collections.abc import Sequence

from wigeonspool.model import fleet
from wigeonspool.model import outcomes

# Key of one credential, or None if the credential is not a valid key.
Credential = bytes | None


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
