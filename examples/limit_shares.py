"""Two holders share a limit of ten; the register is a variable here."""

from pondtiller.coordination.shares import Allocator, HeldShare, HolderKey

holders = {HolderKey("one", 1): HeldShare(), HolderKey("two", 1): HeldShare()}
wanted = {HolderKey("one", 1): 8, HolderKey("two", 1): 4}
allocator = Allocator("service/quote", "member-one", reserve_seconds=30.0)
register = b""
for holder, share in holders.items():
    allocator.receive(holder, share.ask("service/quote", wanted[holder], 0, now=0.0), now=0.0)
allocator.plan(limit=10, now=0.0)
register = allocator.change(register)
for grant in allocator.settle(register, now=0.0):
    holders[grant.holder].receive(grant.message)
print({holder.member: share.usable(now=1.0) for holder, share in holders.items()})
