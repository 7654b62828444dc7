"""A router for language-model services with prefill and decode pools."""
