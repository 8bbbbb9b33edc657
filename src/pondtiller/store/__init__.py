"""Access of gateways and replicas to the platform's store, directly and through mirrors.

`store_watch` follows one kind of objects; `mirror` is the replica's side of the mirrors,
`mirrored_store` the gateway's, and `relayed_store` its access to the store itself. Nothing here
writes to the store or interprets objects: `platform` parses them, and `gateway.watches` applies
them.
"""
