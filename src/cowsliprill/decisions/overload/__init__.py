"""Decides which work is served first and which is shed under overload.

It answers two loads: a customer that sends several times its usual rate, with
urgent requests among many routine ones, and bursts of the least urgent work. It
decides the order of work that competes for capacity, and which plain calls of
customers over their share are refused. It never refuses work that has room,
ends or preempts running work, limits a customer while nobody else wants the
capacity, or does I/O. The order has no state of its own: it follows from the
running and the waiting work. The admission of plain calls keeps the reports of
a few seconds.
"""
