"""What crosses process borders: frames, streams, tokens and clocks."""
