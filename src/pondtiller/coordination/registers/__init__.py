"""Replicated compare-and-swap registers without a leader (after CASPaxos).

A register is a key with a value of bytes. `Proposer` changes a value on a majority of three
replicas, `Acceptor` is one replica, and `Reconfigurer` replaces replicas through a chain of
configurations that the platform's object service orders.
"""
