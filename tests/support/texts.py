"""Parts of texts that readers of lines and fields may change or take for ends."""

# The lone LF is part of the field; what follows it must not be taken for a message. Surrogate
# escapes stand for bytes that are not UTF-8.
PIECES = (
    "\r",
    "\r\r",
    "\n",
    "\n\r",
    "\nQUERY smuggled WRITE stolen z",
    "\v",
    "\f",
    "\x1c",
    "\x85",
    "\u2028",
    "\0",
    "\t",
    " ",
    "  ",
    "\udcff\udcfe",
    "\udce2\udc82",
    "é\U0001f600",
)
