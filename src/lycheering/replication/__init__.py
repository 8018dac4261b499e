"""The replicated log (Raft) that the control instances share."""
