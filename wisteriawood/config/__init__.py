"""Settings, questionnaire and the versioned configuration."""
