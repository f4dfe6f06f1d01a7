"""Answers of endpoints: how they are relayed, and when they are whole."""
