"""What the product needs of its cloud provider, and how it reads and writes its log."""
