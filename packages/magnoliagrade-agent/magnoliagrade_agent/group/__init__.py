"""Expert-parallel groups: what an agent does for its rank."""
