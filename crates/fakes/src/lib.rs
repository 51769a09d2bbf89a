//! small stand-ins for model engines and order services, for demo, load and tests.
