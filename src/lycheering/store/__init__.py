"""The data folder of one instance: synced records, snapshots, identity."""
