"""The platform's store as gateways and replicas follow it: itself, and through mirrors.

`store_watch` follows one kind of objects; `mirror` is the replica's side of the mirrors,
`mirrored_store` the gateway's, `relayed_store` what it asks of the store itself. Nothing here
writes into the store or decides what an object means; `platform` reads objects, `gateway.watches`
puts them in force.
"""
