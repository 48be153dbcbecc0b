//! Stand-ins of the systems that cicadawick works with, and tools to load and disturb them.
