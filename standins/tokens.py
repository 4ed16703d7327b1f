"""
The text that a stand-in engine generates.

Token ``index`` of an answer is a word chosen by a hash of prompt and index, so that
every engine gives the same answer and a test can check it:

    expected_text("swap dossier", 3)
"""

import hashlib

WORDS = (
    "box corner edge piece swap pen lamb sheep price yard desk sale board sky "
    "river gate ram ewe mob rail table colour border shelf count lot bid truck"
).split()


def token(prompt: str, index: int) -> str:
    """Return the text of one token; each but the first begins with a space."""
    digest = hashlib.blake2b(f"{index}|{prompt}".encode(), digest_size=4).digest()
    word = WORDS[int.from_bytes(digest, "big") % len(WORDS)]
    return word if index == 0 else f" {word}"


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the first tokens of the answer to a prompt."""
    return [token(prompt, index) for index in range(count)]


def expected_text(prompt: str, count: int) -> str:
    """Return the complete answer to a prompt."""
    return "".join(expected_tokens(prompt, count))


def count_tokens(text: str) -> int:
    """Return the length of a text in tokens, by the same rule as the entries."""
    return len(text.split())
