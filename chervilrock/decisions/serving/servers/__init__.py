"""What is known of backend servers, and what may be sent to them."""
